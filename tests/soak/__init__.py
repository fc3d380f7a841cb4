"""Soak test: run real routers under random faults and check their guarantees.

Each router is a separate process. All of its connections go through a TCP relay that
can delay them, reset them, hold bytes in one direction or drop everything. The store
and the upstreams are stand-ins in the process of the test, which also sends the
requests.
"""
