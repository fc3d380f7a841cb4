"""Run real routers through random faults and check their promises.

The routers are processes of their own; every connection of theirs goes through
a relay that can delay it, reset it, hold one direction or fall silent. Store
and upstreams are stand-ins in the soak's process, which also plays the callers.
"""
