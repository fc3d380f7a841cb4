"""A simulation of model engines, callers and faults on a virtual clock."""
