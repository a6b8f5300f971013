"""The daemon: threads and servers around the decisions."""

import random
import threading

from absl import logging
import cherrypy

from cranberryscale.connection import platform
from cranberryscale import errors
from cranberryscale.request import gateway
from cranberryscale.version import configuration
from cranberryscale.version import documents
from cranberryscale.version import settings


__all__ = ['Instance']

RETRY_PAUSE_S = 0.2


class Instance:
    """Run one entry instance until the CherryPy engine stops."""

    def __init__(self, options: settings.Settings):
        self._options = options
        self._configuration = configuration.Configuration()
        self._client = platform.PlatformClient(
            options.platform.url, options.platform.prefix
        )
        self._stopping = threading.Event()

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        threading.Thread(target=self._watch, daemon=True).start()
        host, port = self._options.addresses.callers.rsplit(':', 1)
        cherrypy.config.update(
            {
                'environment': 'production',
                'server.socket_host': host,
                'server.socket_port': int(port),
                'server.thread_pool': self._options.limits.threads,
                'engine.autoreload.on': False,
            }
        )
        cherrypy.tree.graft(
            gateway.Gateway(lambda: self._configuration, random.Random()), '/'
        )
        cherrypy.engine.subscribe('stop', self._stopping.set)
        cherrypy.engine.signals.subscribe()
        cherrypy.engine.start()
        logging.info('event=started name=%s', self._options.name)
        cherrypy.engine.block()

    def _watch(self) -> None:
        index = 0
        while not self._stopping.is_set():
            try:
                reading = self._client.read_documents(
                    index, self._options.platform.watch_s
                )
            except errors.ConfigurationError as error:
                logging.warning('event=watch_failed code=%s', error.code)
                self._stopping.wait(RETRY_PAUSE_S)
                continue
            index = reading.index
            self._configuration = documents.merge_documents(
                text
                for path, text in reading.documents.items()
                if not path.endswith('/manifest.toml')
            )
            logging.info('event=configuration_in_force index=%s', index)
