"""Runs the coroutine of a case and turns its verdict into the exit status of run.sh."""

import asyncio
import os
import sys
import traceback

from deployment import CannotRun, Site


def play(record_file, case, **site_options):
    """`case(site, trouble)` returns what was broken, or None. Exit status: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    try:
        site = Site(record_file, **site_options)

        async def run():
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            return await asyncio.wait_for(case(site, trouble), 110.0)
        broken = asyncio.run(run())
        site.record("verdict:", broken or "the rule held")
        print(broken or "the rule held", flush=True)
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", flush=True)
        status = 2
    except Exception:
        traceback.print_exc()
        status = 2
    finally:
        if site is not None:
            site.stop()
    sys.stdout.flush()
    os._exit(status)
