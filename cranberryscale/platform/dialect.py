"""The platform's names for headers between instances and servers."""

from cranberryscale.connection import dialects


__all__ = ['DIALECT']

DIALECT = dialects.Dialect(
    not_run='x-not-executed',
    not_run_value='',
    target='x-target-instance',
    customer='x-tenant',
    signature='x-upstream-seal',
    cold='x-warmup-ms',
    has_decimal_retry=True,
    adds_forwarding=False,
)
