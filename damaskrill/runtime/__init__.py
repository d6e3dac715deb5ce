"""The process around the kernel: tasks, sockets and effects."""

from damaskrill.runtime._kernel_task import InputRecorder, KernelTask
from damaskrill.runtime._process import RouterProcess

__all__ = ["InputRecorder", "KernelTask", "RouterProcess"]
