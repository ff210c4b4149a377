"""A node that ends by itself says why: on standard error, with the thread and its stack."""
import signal

from hosted import Hosted

END_S = 5


def check_says_why(sig):
    """Check that a node which ends by a signal names it, the thread and its stack."""
    with Hosted(nodes=1) as d:
        node = d.nodes[0]
        node.signal(sig)
        assert node.popen.wait(END_S) == -sig
        with open(node.log) as f:
            text = f.read()
        assert "fatal signal %d (%s), thread " % (sig, sig.name) in text, text[-3000:]
        assert "rillknot-node(+0x" in text, text[-3000:]


def test_a_node_that_crashes_tells_where():
    """Guards against a node that ends by a signal and leaves no line in its log."""
    check_says_why(signal.SIGSEGV)


def test_a_node_that_aborts_tells_where():
    """The same for a failed assertion or allocation."""
    check_says_why(signal.SIGABRT)
