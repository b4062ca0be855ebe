"""Checks callers' histories against the stand-ins' records. Knows nothing of the system's inside."""

import json

from callers import answer_words


def completion_text(record):
    """The text of a completed answer, or None if it is not whole."""
    body = record["answer"].body.decode()
    if record["kind"] == "whole":
        return json.loads(body)["choices"][0]["text"]
    events = [e for e in body.split("\n\n") if e]
    if not events or events[-1] != "data: [DONE]":
        return None
    return "".join(json.loads(e[len("data: "):])["choices"][0]["text"] for e in events[:-1])


def check_whole(history):
    """Every completed completion is the whole answer to its own request, and no one else's."""
    faults = []
    for r in history:
        if r["kind"] not in ("stream", "whole", "long") or r["answer"].outcome != "completed":
            continue
        if completion_text(r) != answer_words(r["prompt"], r["count"]):
            faults.append(f"{r['id']}: the answer is not the whole answer to its request")
    for r in history:
        if r["kind"] in ("booking", "plain", "quote") and r["answer"].outcome == "completed":
            if json.loads(r["answer"].body)["echo"] != r["body"]:
                faults.append(f"{r['id']}: the answer belongs to another request")
    return faults


def check_once(history, runs):
    """`runs`: lines of the services' records, one for each run."""
    counts = {}
    for line in runs:
        counts[line] = counts.get(line, 0) + 1
    faults = [f"ran {n} times: {line}" for line, n in counts.items()
              if n > 1 and line.startswith("POST /book")]
    for r in history:
        if r["kind"] not in ("booking", "plain"):
            continue
        ran = counts.get(f"POST /book {r['body']}", 0)
        if r["answer"].outcome == "completed" and ran == 0:
            faults.append(f"{r['id']}: said completed, never ran")
        if r["answer"].outcome == "not_run" and ran > 0:
            faults.append(f"{r['id']}: said not_run, ran")
    return faults


def check_memory(records):
    """`records`: name -> an engine's record."""
    return [f"{name}: asked for {r['highest_memory_mb']} MB, more than it has"
            for name, r in records.items() if r["overcommits"] > 0]


def outcome_shares(history):
    """Share of each outcome, in percent."""
    if not history:
        return {}
    counts = {}
    for r in history:
        counts[r["answer"].outcome] = counts.get(r["answer"].outcome, 0) + 1
    return {k: 100.0 * v / len(history) for k, v in counts.items()}
