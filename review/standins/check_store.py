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


# Guards against an owner that waits for a version that its row does not have,
# since the reply to a write gave the version of a later one.
async def write_reply_has_the_version_of_the_write(store):
    def write(key):
        row = {"Table": TABLE, "part": "", "Key": key, "Value": ""}
        return asyncio.ensure_future(store._apply([], [row], []))

    async with store.changed:  # A watch that wakes up holds both replies back.
        writes = [write("a"), write("b")]
        await asyncio.sleep(WAIT_MS / 1000)
    found = [(await it)[1]["Ver"] for it in writes]
    return None if found == [1, 2] else f"versions {found}"


async def run(check):
    store = platform_store.Platform("", "", "", "")
    store.changed = asyncio.Condition()
    return await check(store)


def main():
    failed = False
    for check in (watch_reply_holds_a_row_written_as_the_wait_ends,
                  write_reply_has_the_version_of_the_write):
        error = asyncio.run(run(check))
        if error:
            failed = True
            print(f"{check.__name__}: {error}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
