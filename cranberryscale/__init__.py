"""A proxy fleet for backend servers with gray failures.

A caller sends its request to any instance, the entry instance of the request,
which admits it and forwards it to a backend server. Rate limits and the slots
of backend servers apply to the whole fleet, so each is enforced by one
instance, its holder. Two programs differ in how holders are chosen:

- `commands` runs a `node`. The platform publishes the list of instances, and
  a holder needs a lease from a quorum of them, so there is at most one.
- `platform.program` runs a `core`. Instances find each other by gossip and
  choose holders by rendezvous hashing without agreement, so there may be two
  for a short time, and each bounds what it gives out.

Both use the same request path (`request`) and connections (`connection`).
"""
