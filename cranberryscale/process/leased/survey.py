"""Survey of the members for the permits that earlier holders granted."""

__all__ = ['Survey', 'compute_instance_limit']


def compute_instance_limit(slots: int) -> int:
    """Return how many of a server's slots one instance may have in use.

    It is half of them, rounded up: with more, a single unresponsive instance
    could block the server.
    """
    return -(-slots // 2)


class Survey:
    """Survey by a new holder, with the members that have not yet replied.

    A member that has not replied is assumed to use as many slots of every
    server as one instance may. The survey ends `limit_s` after the start, when
    every earlier request has ended.
    """

    def __init__(
        self, members: frozenset[str], started_s: float, limit_s: float
    ):
        self._pending = set(members)
        self._replied: set[str] = set()
        self._deadline_s = started_s + limit_s

    def is_open(self, now_s: float) -> bool:
        """Return whether slots are still assumed in use for some member."""
        return bool(self._pending) and now_s < self._deadline_s

    def list_pending(self, now_s: float) -> tuple[str, ...]:
        """Return the members that have not replied, sorted."""
        return tuple(sorted(self._pending)) if self.is_open(now_s) else ()

    def is_pending(self, member: str, now_s: float) -> bool:
        """Return whether the member may have earlier permits in use.

        A member that is not in the list is added to the survey, since a
        holder with another list may have granted it permits.
        """
        if now_s >= self._deadline_s or member in self._replied:
            return False
        self._pending.add(member)
        return True

    def record_reply(self, member: str) -> bool:
        """Record a member's reply; return whether it is its first one."""
        is_first = member not in self._replied
        self._pending.discard(member)
        self._replied.add(member)
        return is_first

    def count_assumed(self, slots: int, now_s: float) -> int:
        """Return the slots of a server assumed in use by pending members."""
        if not self.is_open(now_s):
            return 0
        return min(slots, len(self._pending) * compute_instance_limit(slots))
