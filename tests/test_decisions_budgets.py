"""Tests of single decisions of a share's holder."""

import pytest

from cranberryscale import messages
from cranberryscale.process import token_bucket
from cranberryscale.process import token_cache
from tests import test_budgets


def test_tokens_reported_as_spent_are_not_credited():
    """A return after its tokens were spent would create tokens."""
    holder = test_budgets.make_holder()
    grant = test_budgets.request_grant(holder, 50, 4)
    reported = {'request_id': 'r2', 'spent': (grant.grant_id,)}
    assert test_budgets.request_grant(
        holder, 50, **reported
    ).left == pytest.approx(15)
    token_return = messages.ReturnTokens('c', 0, grant.grant_id, 3)
    holder.return_tokens(token_return, test_budgets.seconds(50))
    last = test_budgets.request_grant(holder, 50, request_id='r3')
    assert last.left == pytest.approx(14)


def test_a_returned_token_is_not_spent():
    """A token that is both returned and kept would be spent twice."""
    cache = token_cache.TokenCache(token_bucket.BudgetTerms())
    now, margin = test_budgets.seconds(1), test_budgets.seconds(1)
    grant = messages.TokenGrant(1, 2, 0.05)
    cache.add_grant(test_budgets.SHARE, grant, now, now)
    (share_message,) = cache.collect_returns(now, margin)
    assert share_message.message.amount == 2
    assert not cache.spend('c', now)
