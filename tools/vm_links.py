"""Links of single nodes to the VMs, which a test can cut for one node and not for others.

Such a node reads the platform's store through a view that lists each VM under the address
of a proxy of its own.
"""
import copy
import threading

from faultproxy import FaultProxy, RESET, SILENT
from hosted import RawServer, answer_json, wait_until

# How a cut shows: connects get no answer and open connections carry nothing; both are reset;
# only new connections are refused, and open ones live on.
UNANSWERED, RESET_ALL, REFUSED = "unanswered", "reset", "refused"
CUTS = (UNANSWERED, RESET_ALL, REFUSED)


class VmLinks(RawServer):
    """The links of one node: its view of the store, and a proxy for each VM.

    Use its `addr` as the node's platform address.
    """

    def __init__(self, store):
        self.store = store
        self.proxies = {}  # address of a VM -> FaultProxy
        self.lock = threading.Lock()
        self.how = None  # the cut in force; None: none
        super().__init__()

    def proxy(self, target):
        with self.lock:
            if target not in self.proxies:
                self.proxies[target] = FaultProxy(target)
                if self.how:
                    self._stop_connects(self.proxies[target])
                    self._stop_data(self.proxies[target])
            return self.proxies[target]

    def passed(self):
        """Return the bytes that the node has sent to VMs over its links."""
        return sum(link.passed for link in self.proxies.values())

    def cut(self, how, select=lambda target: True):
        """Cut the links to the VMs whose address select() chooses."""
        self.how = how
        links = [link for target, link in self.proxies.items() if select(target)]
        # First new connections, then open ones: none is made between two resets.
        for link in links:
            self._stop_connects(link)
        for link in links:
            self._stop_data(link)

    def _stop_connects(self, link):
        if self.how == UNANSWERED:
            link.ignore_connects()
        else:
            link.refuse_connects()

    def _stop_data(self, link):
        if self.how == UNANSWERED:
            link.set_fault(SILENT)
        elif self.how == RESET_ALL:
            link.set_fault(RESET)

    def heal(self):
        """End the cut."""
        self.how = None
        for link in self.proxies.values():
            link.clear_fault()
            link.accept_connects()

    def handle(self, req, conn):
        fault = self.store.fault(req) if self.store.fault else None
        if fault is not None:
            return self.store.handle(req, conn)
        status, value = self.store._answer(req)
        answer_json(conn, status, self._rewrite(value), self.store._era_header())
        return True

    def _rewrite(self, value):
        """Return a copy of an answer in which each VM has the address of its proxy."""
        value = copy.deepcopy(value)
        objects = [value] + value.get("entries", [])
        objects += [event["object"] for event in value.get("events", [])]
        for o in objects:
            spec = o.get("spec")
            if isinstance(spec, dict) and "address" in spec and "service" in spec:
                spec["address"] = self.proxy(spec["address"]).addr
        return value


def wait_for_own_links(d, node, links, target):
    """Wait until the node sends its calls over its links, and no other node does.

    Nodes also learn of VMs from each other; then the VMs are listed anew.
    """
    def settled():
        for worker in d.workers:
            d.store.put("servers", worker.id, dict(worker.spec(), seqNo=next(d.ids)))
        before = links.passed()
        others = [i for i in range(len(d.nodes)) if i != node]
        served = all(d.call(target, i).status == 200 for i in others * 4)
        after = links.passed()
        return served and after == before and \
            all(d.call(target, node).status == 200 for _ in range(4)) and links.passed() > after
    wait_until(settled, 20, 0.3)
