"""Compares what callers received with what the stand-ins recorded, without any internal state of the system."""

import json

from callers import expected_completion


def completion_text(record):
    """The text of a completed answer, or None if a stream lacks its end."""
    body = record["answer"].body.decode()
    if record["kind"] == "whole":
        return json.loads(body)["choices"][0]["text"]
    events = [e for e in body.split("\n\n") if e]
    if not events or events[-1] != "data: [DONE]":
        return None
    return "".join(json.loads(e[len("data: "):])["choices"][0]["text"] for e in events[:-1])


def check_whole(history):
    """Every completed answer is the complete answer to its own request."""
    violations = []
    for r in history:
        if r["kind"] not in ("stream", "whole", "long") or r["answer"].outcome != "completed":
            continue
        if completion_text(r) != expected_completion(r["prompt"], r["count"]):
            violations.append(f"{r['id']}: the answer is incomplete or belongs to another request")
    for r in history:
        if r["kind"] in ("booking", "plain", "quote") and r["answer"].outcome == "completed":
            if json.loads(r["answer"].body)["echo"] != r["body"]:
                violations.append(f"{r['id']}: the answer belongs to another request")
    return violations


def check_once(history, runs):
    """No booking ran twice, and outcomes agree with the services' records. `runs`: one line for each call
    that a service ran."""
    counts = {}
    for line in runs:
        counts[line] = counts.get(line, 0) + 1
    violations = [f"ran {n} times, expected at most once: {line}" for line, n in counts.items()
              if n > 1 and line.startswith("POST /book")]
    for r in history:
        if r["kind"] not in ("booking", "plain"):
            continue
        run_count = counts.get(f"POST /book {r['body']}", 0)
        if r["answer"].outcome == "completed" and run_count == 0:
            violations.append(f"{r['id']}: outcome completed, but no service ran it")
        if r["answer"].outcome == "not_run" and run_count > 0:
            violations.append(f"{r['id']}: outcome not_run, but a service ran it")
    return violations


def check_memory(records):
    """No engine exceeded its memory. `records`: engine name -> its record."""
    return [f"{name}: was ordered to load up to {r['highest_memory_mb']} MB, more than its memory"
            for name, r in records.items() if r["overcommits"] > 0]


def outcome_shares(history):
    """Percentage of the requests with each outcome."""
    if not history:
        return {}
    counts = {}
    for r in history:
        counts[r["answer"].outcome] = counts.get(r["answer"].outcome, 0) + 1
    return {k: 100.0 * v / len(history) for k, v in counts.items()}
