"""The job scheduler: hosts own endpoints and run tasks on them under leases."""
