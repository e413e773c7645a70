"""Maintain the routing tables in the store.

Each table has keepers: the live balancers ranked first for it. They update it in the store.
"""
