"""Gateway processes and runners that crash when they begin to answer a prompt with one part."""

from crash_world import CrashWorld

DEADLY_PART = "dead01"
# The part that all requests begin with, such as a system prompt.
SHARED_PART = "aaaa01"


class PartWorld(CrashWorld):
    """Several first stages in each domain, and parts of prompts that crash whichever begins."""

    def __init__(self):
        super().__init__()
        self.deadly_parts = {DEADLY_PART}
        self.prefixes = {}
        for domain in "xy":
            for number in (3, 4, 5):
                self.add(f"{domain}{number}", "llm", domain, 0, 4)
        for runner in self.runners.values():
            runner.accepts_orders, runner.slots = False, 96

    def holds_deadly_part(self, prefix):
        parts = {each.partition(":")[0].strip() for each in prefix.split(",")[:-1]}
        return bool(parts & self.deadly_parts) and not self.cured

    def is_deadly_run(self, run):
        return self.holds_deadly_part(run.headers.get("x-prompt-prefix", ""))

    async def ask_part(self, process, route, name, prefix):
        """Send a request with a body of its own and a prompt of some parts."""
        self.prefixes[name] = prefix
        return await self.ask_at(
            process, route, name, name.encode(), headers=(("X-Prompt-Prefix", prefix),)
        )

    def deadly_arrivals_after(self, at):
        """Return the requests with a deadly part that reached runners after a time."""
        return [
            each
            for each in self.received_requests
            if each.at > at and self.holds_deadly_part(self.prefixes.get(each.request, ""))
        ]
