"""What a new holder assumes about permits that an earlier holder granted."""

__all__ = ['Survey', 'compute_instance_limit']


def compute_instance_limit(slots: int) -> int:
    """Return how many of a server's slots one instance may have in use.

    With more than half, one silent instance could block the server.
    """
    return -(-slots // 2)


class Survey:
    """Track which members have said what they have in use.

    A member that has not replied counts with its maximum at every server
    until `limit_s` after the start, when every earlier request has ended.
    """

    def __init__(
        self, members: frozenset[str], began_s: float, limit_s: float
    ):
        self._pending = set(members)
        self._replied: set[str] = set()
        self._ends_s = began_s + limit_s

    def is_open(self, now_s: float) -> bool:
        """Tell whether some member still counts with its maximum."""
        return bool(self._pending) and now_s < self._ends_s

    def list_pending(self, now_s: float) -> tuple[str, ...]:
        """Return the members to ask, sorted."""
        return tuple(sorted(self._pending)) if self.is_open(now_s) else ()

    def is_pending(self, member: str, now_s: float) -> bool:
        """Tell whether the member may have earlier permits in use.

        A member outside the list may have got permits from a holder that
        had another list, so it is added.
        """
        if now_s >= self._ends_s or member in self._replied:
            return False
        self._pending.add(member)
        return True

    def record_reply(self, member: str) -> bool:
        """Note the member's reply and tell whether it is the first."""
        is_first = member not in self._replied
        self._pending.discard(member)
        self._replied.add(member)
        return is_first

    def count_assumed(self, slots: int, now_s: float) -> int:
        """Return the slots of a server to treat as in use by the silent."""
        if not self.is_open(now_s):
            return 0
        return min(slots, len(self._pending) * compute_instance_limit(slots))
