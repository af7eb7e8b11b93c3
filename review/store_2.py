"""A stand-in for the platform's store, for the cases 6 to 10: logs, keyed logs and one group, as the users'
page "The platform's metadata store" describes them. Keys and values are bytes; a listing writes a key as JSON text.

    python3 store_2.py IP:PORT
"""
import base64
import http.server
import json
import struct
import sys
import threading
import time
import urllib.parse

# Limits of one page of a listing.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.logs = {}          # topic -> list of records (bytes)
        self.members = {}       # name -> time at which its membership ends
        self.generation = 0

    def append(self, topic, body):
        with self.changed:
            log = self.logs.setdefault(topic, [])
            offset, at = len(log), 0
            while at + 4 <= len(body):
                size = struct.unpack_from(">I", body, at)[0]
                log.append(body[at + 4:at + 4 + size])
                at += 4 + size
            self.changed.notify_all()
            return {"offset": offset, "end": len(log)}

    def read(self, topic, start, wait_s, most):
        """Returns the body of a read with records of most bytes together, or None if there is no such offset."""
        end = time.monotonic() + wait_s
        with self.changed:
            log = self.logs.setdefault(topic, [])
            if start > len(log):
                return None
            while start >= len(log) and time.monotonic() < end:
                self.changed.wait(max(end - time.monotonic(), 0.001))
            records, size = [], 0
            for record in log[start:]:
                size += len(record)
                if records and size > most:
                    break
                records.append(struct.pack(">I", len(record)) + record)
            return struct.pack(">QQ", len(log), 0) + b"".join(records)

    def newest(self, topic, after):
        with self.changed:
            log = list(self.logs.get(topic, []))
        items = {}
        for offset, record in enumerate(log):
            key, value = record[1:1 + record[0]], record[1 + record[0]:]
            items.pop(key, None)
            if value:
                items[key] = {"key": key.decode("utf-8", "replace"), "value": base64.b64encode(value).decode(),
                              "offset": offset}
        keys = sorted(k for k in items if after is None or k > after.encode())
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(items[key])
        return {"items": page, "hasMore": len(keys) > len(page), "end": len(log)}

    def join(self, call):
        with self.changed:
            now = time.monotonic()
            gone = [m for m, until in self.members.items() if until < now]
            for member in gone:
                del self.members[member]
            if gone or call["member"] not in self.members:
                self.generation += 1
            self.members[call["member"]] = now + call["ttlMs"] / 1000
            holds = next(iter(self.members)) == call["member"]
            return {"generation": self.generation, "parts": [[call["topics"][0], 0, 0]] if holds else []}

    def leave(self, call):
        with self.changed:
            if self.members.pop(call["member"], None):
                self.generation += 1
        return {}


STORE = Store()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_args):
        pass

    def answer(self, status, body, kind="application/json"):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def parse(self):
        url = urllib.parse.urlsplit(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        return url.path, query, body

    def do_GET(self):
        path, query, _ = self.parse()
        if path == "/-/log-read":
            body = STORE.read(query["topic"], int(query["from"]), int(query.get("waitMs", 0)) / 1000,
                              int(query.get("maxKb", 1024)) << 10)
            if body is None:
                self.answer(410, {"first": 0})
            else:
                self.answer(200, body, "application/octet-stream")
        elif path == "/-/log-newest":
            self.answer(200, STORE.newest(query["topic"], query.get("after")))
        else:
            self.answer(404, {})

    def do_POST(self):
        path, query, body = self.parse()
        if path == "/-/log-append":
            self.answer(200, STORE.append(query["topic"], body))
        elif path == "/-/log-join":
            self.answer(200, STORE.join(json.loads(body)))
        elif path == "/-/log-leave":
            self.answer(200, STORE.leave(json.loads(body)))
        else:
            self.answer(404, {})


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


if __name__ == "__main__":
    ip, port = sys.argv[1].split(":")
    Server((ip, int(port)), Handler).serve_forever()
