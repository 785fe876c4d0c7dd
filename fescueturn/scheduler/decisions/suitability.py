"""Tells which endpoints can run a task, whatever else runs there now."""

from fescueturn.scheduler import model


def has_label(endpoint: model.Endpoint, step: model.Step) -> bool:
  """Returns whether an endpoint has the label that a step requires, if any."""
  return not step.requires or step.requires in endpoint.labels


def can_run(endpoint: model.Endpoint, service: str, step: model.Step) -> bool:
  """Returns whether an endpoint without other runs could start a step's tasks.

  Args:
    endpoint: the endpoint, as the platform lists it.
    service: the service of the step's job.
    step: the step.
  """
  return (
      endpoint.service == service
      and not endpoint.draining
      and endpoint.slots > 0
      and endpoint.capacity.fits(step.need)
      and has_label(endpoint, step)
  )
