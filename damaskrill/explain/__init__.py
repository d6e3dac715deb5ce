"""The chain of causes of one request, told in sentences from logs."""

from damaskrill.explain._chain import RequestChain, collect_chain
from damaskrill.explain._command import explain_request
from damaskrill.explain._sentences import describe_chain

__all__ = ["RequestChain", "collect_chain", "describe_chain", "explain_request"]
