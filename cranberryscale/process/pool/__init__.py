"""What the holder of a pool of backend servers decides.

`server_pool.ServerPool` is the entry: it receives the requests of the whole
fleet for the servers of one shard and returns permits, places in its queue
and denials. The other modules are its parts, without input and output.
"""
