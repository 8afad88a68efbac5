"""Fault-injecting TCP proxy with a control interface."""

from __future__ import annotations

from typing import Any

from absl import app as absl_app
from absl import flags
from aiohttp import web
from pydantic import ValidationError

from gypsumvane_devtools import stand_in
from gypsumvane_devtools.proxy_link import Framing
from gypsumvane_devtools.proxy_link import ProxyLink
from gypsumvane_devtools.proxy_rules import Rule

FLAGS = flags.FLAGS


class Proxy:
    """Manage proxied links through a control interface."""

    def __init__(self) -> None:
        self.links: dict[str, ProxyLink] = {}

    def application(self) -> web.Application:
        """Return the HTTP application of the control interface."""
        app = web.Application()
        app.router.add_get("/control/links", self._list)
        app.router.add_post("/control/links", self._add_link)
        app.router.add_post("/control/links/{link}/rules", self._add_rule)
        app.router.add_delete("/control/links/{link}/rules", self._clear_rules)
        app.router.add_delete("/control/links/{link}/rules/{rule}", self._remove_rule)
        app.router.add_post("/control/links/{link}/release", self._release)
        app.router.add_post("/control/links/{link}/cut", self._cut)
        app.router.add_post("/control/links/{link}/target", self._set_target)
        app.on_shutdown.append(self._stop)
        return app

    def _link(self, request: web.Request) -> ProxyLink:
        link = self.links.get(request.match_info["link"])
        if link is None:
            raise web.HTTPNotFound(text="unknown link")
        return link

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(
            {name: describe(link) for name, link in self.links.items()}
        )

    async def _add_link(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        framing = Framing(values.get("framing", Framing.RAW))
        link = ProxyLink(values["name"], values["target"], framing)
        await link.start(values.get("address", "127.0.0.1:0"))
        self.links[link.name] = link
        return web.json_response({"address": link.address})

    async def _add_rule(self, request: web.Request) -> web.Response:
        link = self._link(request)
        try:
            rule = Rule.model_validate(await stand_in.json_body(request))
        except ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({"rule": link.rules.add(rule)})

    async def _remove_rule(self, request: web.Request) -> web.Response:
        self._link(request).rules.remove(int(request.match_info["rule"]))
        return web.json_response({})

    async def _clear_rules(self, request: web.Request) -> web.Response:
        self._link(request).rules.rules.clear()
        return web.json_response({})

    async def _release(self, request: web.Request) -> web.Response:
        link = self._link(request)
        values = await stand_in.json_body(request)
        released = await link.release(crossed=bool(values.get("crossed", False)))
        return web.json_response({"released": released})

    async def _cut(self, request: web.Request) -> web.Response:
        link = self._link(request)
        values = await stand_in.json_body(request)
        cut = link.cut(int(values.get("connection", 0)))
        return web.json_response({"cut": cut})

    async def _set_target(self, request: web.Request) -> web.Response:
        link = self._link(request)
        values = await stand_in.json_body(request)
        link.target = str(values["target"])
        return web.json_response({})

    async def _stop(self, app: web.Application) -> None:
        for link in self.links.values():
            await link.stop()


def describe(link: ProxyLink) -> dict[str, Any]:
    """Return the state of a link and its connections."""
    connections = {
        connection.number: {
            "request_bytes": connection.request_bytes,
            "answer_bytes": connection.answer_bytes,
        }
        for connection in link.connections.values()
    }
    rules = {
        number: rule.model_dump(mode="json")
        for number, rule in link.rules.rules.items()
    }
    return {
        "address": link.address,
        "target": link.target,
        "accepted": link.accepted,
        "held": len(link.held),
        "wrong_answers": link.wrong_answers,
        "after_wrong_max": link.after_wrong_max,
        "connections": connections,
        "rules": rules,
    }


async def serve() -> None:
    """Serve the control interface; links are added through it."""
    await stand_in.serve("proxy", Proxy().application(), FLAGS.address)


def main(argv: list[str]) -> None:
    """Run the proxy."""
    stand_in.run(serve)


if __name__ == "__main__":
    flags.DEFINE_string("address", "127.0.0.1:0", "Address of the control interface.")
    absl_app.run(main)
