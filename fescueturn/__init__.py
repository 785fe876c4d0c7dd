"""fescueturn: a dispatcher of sub-second tasks.

Callers submit jobs, each a set of short tasks, to an entry host. The entry
host routes each job to its owner entry host in the data centre, runs every
task once on an endpoint and returns one whole answer per job: complete, or
failed with a per-task code that says truthfully whether the task ran.

The package is a library; the daemons in ``fescueturn.cli`` are thin shells
over it.
"""
