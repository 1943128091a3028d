"""What a follower holds, of a feed that names all tenants and of one that is partial."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from tansywood.admin.feed import Feed
from tansywood.service.follow import Follower

Views = dict[str, dict[str, Any]]


class Agent:
    """The owner of a partial feed; keeps what it is told."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def joined(self, name: str, held: list[str], seq: int) -> None:
        self.events.append(("joined", name, held, seq))

    def left(self, name: str) -> None:
        self.events.append(("left", name))

    def heard(self, name: str, message: dict[str, Any]) -> None:
        if "applied" not in message:
            self.events.append(message)


async def comes(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def fed(path: Path, views: Views, agent: Agent | None, seq: int) -> AsyncIterator[Feed]:
    feed = Feed(str(path), lambda: views, agent)
    feed.seq = seq
    await feed.start()
    try:
        yield feed
    finally:
        feed.close()


class Recorded(Follower):
    """A follower that keeps its news."""

    def __init__(self, path: Path, give_up: Callable[[str], bool] | None = None) -> None:
        self.news: list[tuple[str, dict[str, Any] | None]] = []
        super().__init__(str(path), "f", lambda *news: self.news.append(news), give_up)


@contextlib.asynccontextmanager
async def following(
    path: Path, give_up: Callable[[str], bool] | None = None
) -> AsyncIterator[Recorded]:
    follower = Recorded(path, give_up)
    task = asyncio.create_task(follower.run())
    try:
        yield follower
    finally:
        task.cancel()


def test_of_a_partial_feed_what_it_does_not_name_is_kept_and_told(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "feed.sock"
        async with following(path) as follower:
            async with fed(path, {"a": {"v": 1}, "b": {"v": 1}}, Agent(), 5):
                await comes(lambda: len(follower.views) == 2)
            again = Agent()
            async with fed(path, {"b": {"v": 2}}, again, 9) as feed:
                await comes(lambda: follower.seq == 9)
                assert follower.views == {"a": {"v": 1}, "b": {"v": 2}}
                assert again.events[0] == ("joined", "f", ["a", "b"], 5)
                feed.tell("f", {"give": ["a", "c"]})
                await comes(lambda: {"given": "a", "view": {"v": 1}} in again.events)
                feed.publish(10, "a", None)
                await comes(lambda: follower.seq == 10)
                assert set(follower.views) == {"b"}
            await comes(lambda: ("left", "f") in again.events)
            # A whole feed names all: what it does not name is gone.
            async with fed(path, {"c": {"v": 1}}, None, 1):
                await comes(lambda: follower.seq == 1)
                assert set(follower.views) == {"c"} and not follower.partial

    asyncio.run(main())


def test_a_state_that_is_not_taken_over_is_refused_to_an_agent_and_the_last_good_stays(
    tmp_path: Path,
) -> None:
    class Choosy(Follower):
        def __init__(self) -> None:
            self.news: list[Any] = []
            super().__init__(str(tmp_path / "feed.sock"), "f", self.take)

        def take(self, uid: str, view: dict[str, Any] | None) -> None:
            self.news.append((uid, view))
            if view is not None and view["v"] == "bad":
                raise ValueError("not this one")

    async def main() -> None:
        agent = Agent()
        good, bad = {"v": 1, "place": [1, "aa", 7]}, {"v": "bad", "place": [1, "aa", 8]}
        refusal = {"place": [1, "aa", 8], "reason": "ValueError: not this one"}
        async with fed(tmp_path / "feed.sock", {"a": good, "new": bad}, agent, 5) as feed:
            follower = Choosy()
            task = asyncio.create_task(follower.run())
            await comes(lambda: follower.seq == 5)
            assert follower.views == {"a": good}
            assert follower.news == [("a", good), ("new", bad), ("new", None)]
            await comes(lambda: agent.events[1:] == [{"refused": "new"} | refusal])
            follower.news.clear()
            feed.publish(6, "a", bad)
            await comes(lambda: feed.applied["f"] == 6)
            # The refusal is heard before it says how far it has come.
            assert agent.events[2:] == [{"refused": "a"} | refusal]
            assert follower.views == {"a": good}
            assert follower.news == [("a", bad), ("a", good)]
            task.cancel()

    asyncio.run(main())


UIDS = ("used", "fails", "rests")


async def released(path: Path, give_up: Callable[[str], bool] | None) -> list[bool]:
    """What a follower answers; what is called off is news to it again where it had let go."""
    agent = Agent()
    async with (
        following(path, give_up) as follower,
        fed(path, {uid: {"v": 1} for uid in UIDS}, agent, 1) as feed,
    ):
        await comes(lambda: follower.seq == 1)
        for number, uid in enumerate(UIDS):
            feed.tell("f", {"release": uid, "number": number})
        await comes(lambda: len(agent.events) == 4)
        answers = [event["released"] for event in agent.events[1:]]
        assert set(follower.views) == {
            uid for uid, answer in zip(UIDS, answers, strict=True) if not answer
        }
        follower.news.clear()
        for seq, uid in enumerate(UIDS, 2):
            feed.publish(seq, uid, {"v": 1})
        await comes(lambda: follower.seq == 4)
        gone = [uid for uid, answer in zip(UIDS, answers, strict=True) if answer]
        assert follower.news == [(uid, {"v": 1}) for uid in gone]
        return answers


def test_a_tenant_is_released_unless_it_is_in_use_and_one_that_fails_stays(
    tmp_path: Path,
) -> None:
    def give_up(uid: str) -> bool:
        if uid == "fails":
            raise ValueError(uid)
        return uid != "used"

    assert asyncio.run(released(tmp_path / "feed.sock", give_up)) == [False, False, True]


def test_who_has_no_use_of_tenants_releases_each(tmp_path: Path) -> None:
    assert asyncio.run(released(tmp_path / "feed.sock", None)) == [True] * 3
