"""Demonstrates bgrouterd: a local deployment with fake store and engines, one stream, and its trace in the logs."""
import os
import subprocess

from stack import BIN, Stack


def main():
    stack = Stack()
    try:
        stack.up()
        print("== one stream through host-0, over a pipeline of engines:")
        status, headers, body = stack.ask("host-0", "/stream/demo", "demo-1",
                                          Bronzegauge_Token_Counts="50,4")
        print("   status %d, %s" % (status, headers.get("Content-Type")))
        for event in body.decode().strip().split("\n\n"):
            print("   " + event.replace("\n", "  "))
        print("== its trace, as bgctl explain prints it:")
        logs = [os.path.join(stack.dir, h + ".log") for h in stack.hosts]
        subprocess.run([os.path.join(BIN, "bgctl"), "explain", "demo-1"] + logs, check=True)
    finally:
        stack.down()


if __name__ == "__main__":
    main()
