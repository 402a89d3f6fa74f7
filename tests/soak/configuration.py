"""The operator: the configuration, its changes, and what was acknowledged."""
import asyncio
import json

import http1

HOST = "soak.example"
KEYS = ["soak-key-that-stays", "soak-key-one", "soak-key-two"]
SERVICES = ["alpha", "beta", "gamma"]


class Operator:
    """Sends configurations until they get a clear answer, and reads them back."""

    def __init__(self, fleet, timeline, rate, cold_s=0.0, cold_per_s=1000.0):
        self.fleet, self.timeline = fleet, timeline
        self.version = 7
        self.rate = rate
        self.cold_s, self.cold_per_s = cold_s, cold_per_s
        self.routes = {}
        self.keys = KEYS[:2]
        self.ever_allowed = {}
        self.shortest_timeout = {}
        self.acknowledged = {}
        for name, kind, service in [("read", "safe", "alpha"), ("write", "unsafe", "alpha"), ("book", "unsafe", "beta"),
                                    ("list", "safe", "beta"), ("pay", "unsafe", "gamma")]:
            self.set_route(name, Kind=kind, Service=service, TimeoutMs=4000)

    def allowed(self, route):
        return self.ever_allowed[route]

    def set_route(self, name, **fields):
        """Changes a route. Returns the item to send."""
        item = self.routes.setdefault(name, {
            "Name": name, "PathPrefix": f"/{name}/", "LatencyTargetMs": 1000, "Priority": 1, "MaxAttempts": 3, "Public": False,
            "Sticky": name in ("read", "book"), "AllowedRegions": []})
        if "Service" in fields:
            item.pop("TrafficSplit", None)
        if "TrafficSplit" in fields:
            item.pop("Service", None)
        item.update(fields, Version=f"{self.version:08x}")
        services = [item["Service"]] if "Service" in item else [it["Service"] for it in item["TrafficSplit"]]
        self.ever_allowed.setdefault(name, set()).update(services)
        self.shortest_timeout[name] = min(self.shortest_timeout.get(name, item["TimeoutMs"]), item["TimeoutMs"])
        return dict(item)

    def tenant(self):
        return {"Name": "tenant1", "ApiKeys": list(self.keys), "Priority": 1, "RatePerS": self.rate, "Burst": self.rate,
                "AllowedRegions": [], "Version": f"{self.version:08x}"}

    def first(self):
        version = f"{self.version:08x}"
        return {"Upsert": {
            "Tenants": [self.tenant()],
            "Services": [{"Name": it, "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": False,
                          "ColdS": self.cold_s, "ColdPerS": self.cold_per_s, "Version": version} for it in SERVICES],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderMs": 3000, "IdleMs": 15000, "Version": version},
            "Hosts": [{"Host": HOST, "Paths": [dict(it) for it in self.routes.values()]}]}, "Remove": {"Routes": []}}

    async def change_route(self, name, **fields):
        self.version += 2
        item = self.set_route(name, **fields)
        return await self.accept({"Upsert": {"Hosts": [{"Host": HOST, "Paths": [item]}]}, "Remove": {"Routes": []}}, item)

    async def change_keys(self, keys):
        self.version += 2
        self.keys = keys
        item = self.tenant()
        return await self.accept({"Upsert": {"Tenants": [item]}, "Remove": {"Routes": []}}, item)

    async def accept(self, body, *items, limit=20.0):
        self.timeline("operator sends", json.dumps(body["Upsert"]))
        answer = await self.order("PATCH", body, limit)
        if answer is not None and answer.status == 200:
            for it in items:
                held = self.acknowledged.get(it["Name"])
                if held is None or held["Version"] < it["Version"]:
                    self.acknowledged[it["Name"]] = it
        return answer

    async def order(self, method, body=None, limit=20.0):
        """Tries control VMs until a clear answer. Returns it or None."""
        loop = asyncio.get_running_loop()
        end, n = loop.time() + limit, 0
        while loop.time() < end:
            address = self.fleet.controls[n % len(self.fleet.controls)].at("control")
            n += 1
            try:
                for _ in range(3):
                    answer = await http1.call(address, method, "/-/config", body)
                    if answer.status != 307:
                        break
                    address = answer.headers["location"].split("//")[1].split("/")[0]
                self.timeline("operator", method, "at", address, answer.status)
                if answer.status < 500 and answer.status not in (307, 408, 429):
                    return answer
            except (OSError, asyncio.TimeoutError, http1.Cut) as error:
                self.timeline("operator", method, "at", address, "no answer:", type(error).__name__)
            await asyncio.sleep(min(0.1 * n, 1.0))
        return None

    async def read_back(self):
        """Returns what is wrong with the configuration that the group holds now."""
        answer = await self.order("GET", limit=20.0)
        if answer is None or answer.status != 200:
            return ["nothing comes when the configuration is read back"]
        lists = json.loads(answer.body)
        return differences(self.acknowledged, lists.get("Upsert", lists))


def differences(acknowledged, lists):
    """Returns what breaks the promise that acknowledged items stay: missing, older, or other content under their version."""
    held = {it["Name"]: it for host in lists["Hosts"] for it in host["Paths"]}
    held.update({it["Name"]: it for it in lists["Tenants"]})
    wrong = []
    for name, item in acknowledged.items():
        if name not in held:
            wrong.append(f"{name} is missing, version {item['Version']} was acknowledged")
        elif held[name]["Version"] < item["Version"]:
            wrong.append(f"{name} is at version {held[name]['Version']}, {item['Version']} was acknowledged")
        elif held[name]["Version"] == item["Version"] and any(held[name].get(it) != item[it] for it in item):
            wrong.append(f"{name} is not what was sent under version {item['Version']}")
    return wrong
