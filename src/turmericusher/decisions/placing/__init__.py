"""Placing: which upstream gets the next attempt of a request, or why none does.

`upstream_load` estimates how loaded an upstream is from sources of different age, and
`selection` picks one of a few random candidates by that. `free_capacity` has the wait
at an engine whose report is at hand, and `relay_placing` places a relayed request with
it, or refuses one that would come too late.
"""
