"""Router process that runs the kernel: tasks, sockets and effects."""

from damaskrill.runtime._kernel_task import InputRecorder, KernelTask
from damaskrill.runtime._process import RouterProcess
from damaskrill.runtime._serve import run_in_reactor, serve

__all__ = ["InputRecorder", "KernelTask", "RouterProcess", "run_in_reactor", "serve"]
