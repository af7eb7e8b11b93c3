"""Heads of answers whose line with the endpoint's seal is spoilt on the way."""
SEAL = b"Bronzegauge-Response-Seal"

# What stands in place of the seal's line, by its name and value, and whether an answer with it may still be a success.
FORMS = {
    "no value": (lambda name, value: [name + b":"], False),
    "blanks only": (lambda name, value: [name + b": \t "], False),
    "carriage return": (lambda name, value: [name + b": " + value[:3] + b"\r" + value[3:]], False),
    "control character": (lambda name, value: [name + b": " + value + b"\x01"], False),
    "folded": (lambda name, value: [name + b": " + value, b" more"], False),
    "no colon": (lambda name, value: [name + b" " + value], False),
    "blank before the colon": (lambda name, value: [name + b" : " + value], False),
    "no line": (lambda name, value: [], False),
    "two that differ": (lambda name, value: [name + b": " + value, name + b": other"], False),
    "twice": (lambda name, value: [name + b": " + value] * 2, True),
    "no value, then one": (lambda name, value: [name + b":", name + b": " + value], True),
    "one, then no value": (lambda name, value: [name + b": " + value, name + b":"], True),
    "another case": (lambda name, value: [name.lower() + b":" + value + b" "], True),
}


def spoil(data, form):
    """Returns the bytes with which an answer begins, with the seal's line in that form; other bytes unchanged."""
    if not data.startswith(b"HTTP/"):
        return data
    head, end, body = data.partition(b"\r\n\r\n")
    lines = []
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b": ")
        lines += FORMS[form][0](name, value) if colon and name.lower() == SEAL.lower() else [line]
    return b"\r\n".join(lines) + end + body
