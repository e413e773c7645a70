"""Decisions while there is less room than work: who waits, who is refused, and where work goes.

Each module holds one decision with its state. It takes times, counts and names, and knows no
packet, socket, clock or random source.
"""
