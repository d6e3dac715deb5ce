"""Explanation of one request and its chain of causes, built from logs."""

from damaskrill.explain._chain import RequestChain, collect_chain
from damaskrill.explain._command import explain_request
from damaskrill.explain._sentences import describe_chain

__all__ = ["RequestChain", "collect_chain", "describe_chain", "explain_request"]
