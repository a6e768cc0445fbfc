"""Reads of the store by a process in memory, for steps that depend on their moments."""

import trio


async def wait_for_read(store, table):
    """Wait until a read of a table begins: its wait for changes lasts the longest then."""
    original, begun = store.changes, trio.Event()

    async def changes(name, after, seconds):
        if name == table and seconds > 0.0:
            begun.set()
        return await original(name, after, seconds)

    store.changes = changes
    await begun.wait()
    store.changes = original
