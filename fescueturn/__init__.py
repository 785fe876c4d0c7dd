"""fescueturn: a dispatcher of sub-second tasks.

Callers submit jobs, each a set of short tasks, to an entry host. Each job is
coordinated by one entry host of the data centre, to which the others forward
requests for the job. The coordinator runs every task once on an endpoint and
returns one answer per job: complete, or failed with a code per task that
states whether the task ran, did not run, or that this is unknown.

The package is a library; the daemons in ``fescueturn.cli`` are thin wrappers
around it.
"""
