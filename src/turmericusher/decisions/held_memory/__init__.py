"""Decides who may hold how much of a process's memory and which client has to yield."""
