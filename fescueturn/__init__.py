"""fescueturn: a dispatcher of sub-second tasks.

Callers submit jobs, each a set of short tasks, to an entry host. The entry
host routes each job to its owner entry host in the data centre, runs every
task once on an endpoint and returns one answer per job: complete, or failed
with a code per task that states whether the task ran, did not run, or that
this is unknown.

The package is a library; the daemons in ``fescueturn.cli`` are thin wrappers
around it.
"""
