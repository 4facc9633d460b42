"""Checks of the stand-in for the store."""

import asyncio
import sys

import platform_store

TABLE, KEY = "jobs", "a"
WAIT_MS = 50


# Guards against jobs that are never seen, since a reply gave their row's
# version without the row.
async def watch_reply_holds_a_row_written_as_the_wait_ends(store):
    watch = asyncio.ensure_future(store._feed(
        {"Table": TABLE, "DependsOn": "0", "WaitMs": str(WAIT_MS)}))
    await asyncio.sleep(WAIT_MS / 2000)
    async with store.changed:  # A writer that keeps the watch from replying.
        await asyncio.sleep(WAIT_MS / 1000)
        store.version += 1
        store._set(TABLE, "", KEY, "")
    _, reply = await watch
    rows = [(row["Key"], row["Ver"]) for row in reply["rows"]]
    if reply["Ver"] == 1 and rows != [(KEY, 1)]:
        return f"version {reply['Ver']} with rows {rows}"
    return None


async def run(check):
    store = platform_store.Platform("", "", "", "")
    store.changed = asyncio.Condition()
    return await check(store)


def main():
    failed = False
    for check in (watch_reply_holds_a_row_written_as_the_wait_ends,):
        error = asyncio.run(run(check))
        if error:
            failed = True
            print(f"{check.__name__}: {error}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
