"""Engines that send what no correct engine sends."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import replace

from deckcourse.engine import FinishFrame, Frame, TokenFrame
from deckcourse.standin_engine import StandinEngine

EARLY = 5


async def doubled(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    async for batch in frames:
        yield batch
        yield batch


async def out_of_order(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    held = None
    async for batch in frames:
        if held is None and isinstance(batch[0], TokenFrame):
            held = batch
            continue
        yield batch
        if held is not None:
            yield held
            held = None


async def with_older(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    async for batch in frames:
        frame = batch[0]
        if isinstance(frame, TokenFrame):
            yield (replace(frame, attempt=start.attempt - 1, token=1, text="wrong "),)
        yield batch


async def without_a_stage(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    async for batch in frames:
        frame = batch[0]
        if isinstance(frame, TokenFrame) and start.attempt == 1 and frame.index == EARLY:
            yield (replace(frame, trace=frame.trace.rpartition(",")[0]),)
        else:
            yield batch


async def without_finish(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    async for batch in frames:
        if start.attempt == 1 and isinstance(batch[0], FinishFrame):
            return
        yield batch


async def finished_early(frames, start) -> AsyncIterator[tuple[Frame, ...]]:
    async for batch in frames:
        yield batch
        if start.attempt == 1 and getattr(batch[0], "index", 0) == EARLY:
            yield (FinishFrame(1, 2, "length"),)


ODD = {
    "doubles every frame": doubled,
    "sends frames out of order": out_of_order,
    "sends frames of an older attempt": with_older,
    "leaves a stage out of the trace": without_a_stage,
    "ends the stream without a finish": without_finish,
    "says that it finished too early": finished_early,
}


def make_odd(engine: StandinEngine, does: str) -> None:
    """Let an engine's streams go through one of the above."""
    stream = engine.stream

    @asynccontextmanager
    async def odd(start):
        async with stream(start) as frames:
            if hasattr(frames, "__anext__"):
                async with aclosing(ODD[does](frames, start)) as changed:
                    yield changed
            else:
                yield frames

    engine.stream = odd
