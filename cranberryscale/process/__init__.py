"""State and decisions kept in memory for the lifetime of the process.

Only a `core` uses dispatch, dispatch_requests, fallback, fleet_buckets,
health, load_statistics, quotas, rendezvous, retry_budgets, return_schedule,
roster, server_limits, server_ranking, shards, store_follower and
tracked_servers. Both programs use caller_account and metrics; all other
modules belong to a `node`.

Terms:

- budget: the rate and burst of a customer over the whole fleet;
- share: a part of a budget with a token bucket of its own;
- grant: tokens given out by the holder of a share (budgets), or the vote of a
  member for the lease of another (lease_grants);
- permit: the right to run one request at one backend server, that is, to use
  one of its slots;
- pool: the backend servers of a service in one failure domain;
- shard: the part of a pool that one instance of a `core` fleet coordinates;
- holder: the instance that manages a share, a pool, a shard or a quota;
- scope: the members that vote on a lease and may hold it, either those of one
  failure domain or all of the region;
- once key: the digest of a caller's idempotency key.
"""
