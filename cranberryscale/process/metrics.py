"""Counters and latency histograms, rendered as Prometheus text."""

import datetime
import threading
from typing import Iterable
from typing import Mapping

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry


__all__ = ['Metrics']

PREFIX = 'cranberryscale_'
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)

_Labels = tuple[tuple[str, str], ...]


class Metrics(registry.Collector):
    """Registry of counters, gauges and duration histograms.

    Recording must never raise to the caller. Label values come from bounded
    sets (codes, services, customers).
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._counts: dict[str, dict[_Labels, float]] = {}
        self._gauges: dict[str, dict[_Labels, float]] = {}
        self._histograms: dict[str, dict[_Labels, histogram.HdrHistogram]] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        key = tuple(sorted(labels.items()))
        with self._lock:
            family = self._counts.setdefault(name, {})
            family[key] = family.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        key = tuple(sorted(labels.items()))
        with self._lock:
            self._gauges.setdefault(name, {})[key] = value

    def record(
        self, name: str, duration: datetime.timedelta, **labels: str
    ) -> None:
        """Add a duration to a histogram."""
        key = tuple(sorted(labels.items()))
        value_us = int(duration.total_seconds() * 1e6)
        with self._lock:
            family = self._histograms.setdefault(name, {})
            if key not in family:
                family[key] = histogram.HdrHistogram(
                    1, MAX_DURATION_US, SIGNIFICANT_DIGITS
                )
            family[key].record_value(min(max(value_us, 1), MAX_DURATION_US))

    def collect(self) -> Iterable[core.Metric]:
        """Yield the metric families, as prometheus_client requires."""
        with self._lock:
            yield from self._collect_values(
                self._counts, core.CounterMetricFamily
            )
            yield from self._collect_values(
                self._gauges, core.GaugeMetricFamily
            )
            for name, series in self._histograms.items():
                yield from self._collect_histogram(name, series)

    def _collect_values(self, families, family_class) -> Iterable[core.Metric]:
        for name, series in families.items():
            labels = [label for label, _ in next(iter(series))]
            family = family_class(PREFIX + name, name, labels=labels)
            for key, value in series.items():
                family.add_metric(
                    [label_value for _, label_value in key], value
                )
            yield family

    def _collect_histogram(
        self,
        name: str,
        series: Mapping[_Labels, histogram.HdrHistogram],
    ) -> Iterable[core.Metric]:
        family = core.Metric(PREFIX + name, name, 'summary')
        for key, values in series.items():
            for quantile in QUANTILES:
                family.add_sample(
                    PREFIX + name,
                    dict(key) | {'quantile': f'{quantile / 100:g}'},
                    values.get_value_at_percentile(quantile) / 1e6,
                )
            count = values.get_total_count()
            total_s = values.get_mean_value() * count / 1e6
            family.add_sample(PREFIX + name + '_count', dict(key), count)
            family.add_sample(PREFIX + name + '_sum', dict(key), total_s)
        yield family

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
