"""HTTP callers for scenarios, on plain asyncio streams. They keep the history that the checker reads."""

import asyncio
import json
import random
import time


def expected_completion(prompt, count):
    """The stand-in engine's answer to `prompt`: `count` words, each an FNV-1a hash of prompt and index."""
    words = []
    for index in range(count):
        value = 14695981039346656037
        for byte in f"{prompt}#{index}".encode():
            value = ((value ^ byte) * 1099511628211) % (1 << 64)
        words.append(f"w{value % 100000} ")
    return "".join(words)


class Answer:
    """The response to one request as its caller received it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    @property
    def outcome(self):
        if "burdockdeck-outcome" in self.headers:
            return self.headers["burdockdeck-outcome"]
        # Streams have no outcome header: a stream that reached its end completed, any other outcome is unknown.
        return "completed" if self.complete and self.status == 200 else "unknown"


async def call(address, method, path, body, headers, timeout=120.0):
    """Sends one request on a new connection and reads the whole response. Errors are kept in the answer."""
    answer = Answer()
    try:
        await asyncio.wait_for(_call(answer, address, method, path, body, headers), timeout)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = repr(error)
    except asyncio.TimeoutError:
        answer.error = "the caller timed out before the answer was complete"
    return answer


async def _call(answer, address, method, path, body, headers):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}", "Connection: close",
                 f"Content-Length: {len(body)}"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        first = await reader.readline()
        if not first:
            raise OSError("connection closed before a response arrived")
        answer.status = int(first.split()[1])
        while (line := await reader.readline()) not in (b"\r\n", b""):
            key, _, value = line.decode().partition(":")
            answer.headers[key.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip() or b"x", 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True
    finally:
        writer.close()


class Load:
    """Open-loop load on all entries: request times do not depend on answers. Keeps every request with its
    answer."""

    def __init__(self, addresses, rate, mix, deadline_ms, tokens, models, seed):
        self.addresses = addresses
        self.rate = rate
        self.kinds = [kind for kind, count in mix for _ in range(count)]
        self.deadline_ms = deadline_ms
        self.tokens = tokens
        self.models = models
        self.random = random.Random(seed)
        self.history = []
        self.answered = 0
        self.changed = asyncio.Event()
        self.stopping = False
        self.tasks = set()
        self.sent = 0

    async def run(self):
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(self.rate))
            task = asyncio.create_task(self.send_one(self.random.choice(self.kinds)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_one(self, kind):
        self.sent += 1
        record = {"kind": kind, "id": f"load-{self.sent}", "start": time.monotonic()}
        self.history.append(record)
        headers = {"X-Request-Id": record["id"], "Burdockdeck-Deadline-Ms": self.deadline_ms}
        if kind in ("stream", "whole", "long"):
            record["prompt"] = f"prompt {self.sent}"
            record["count"] = self.tokens * (20 if kind == "long" else 1)
            path = "/v1/completions"
            body = {"model": self.random.choice(self.models), "prompt": record["prompt"],
                    "max_tokens": record["count"], "stream": kind != "whole"}
        else:
            path = "/services/orders/" + ("quote" if kind == "quote" else "book")
            body = {"order": record["id"]}
            if kind == "booking":
                headers["Idempotency-Key"] = record["id"]
        record["body"] = json.dumps(body)
        address = self.random.choice(self.addresses)
        record["answer"] = await call(address, "POST", path, record["body"].encode(), headers)
        record["seconds"] = time.monotonic() - record["start"]
        self.answered += 1
        self.changed.set()

    async def wait_for_answers(self, count):
        target = self.answered + count
        while self.answered < target:
            self.changed.clear()
            await self.changed.wait()

    async def stop(self, run_task):
        """Stops sending, waits for `run_task`, the task of run(), and then for every answer."""
        self.stopping = True
        await run_task
        if self.tasks:
            await asyncio.gather(*self.tasks)
