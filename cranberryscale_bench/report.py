"""An HTML page of results with embedded plots."""

import base64
from collections.abc import Iterable
import html
import io
import itertools

from matplotlib import figure

from cranberryscale_bench import results


__all__ = ['make_page']

COLUMNS = ('case', 'value', 'baseline', 'bound', 'unit', 'ok')


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    return '' if value is None else str(value)


def _plot(measure: str, rows: tuple[results.Result, ...]) -> str:
    """Return an img element: one bar for each case, a line for each bound."""
    chart = figure.Figure(
        figsize=(8, 1 + 0.3 * len(rows)), layout='constrained'
    )
    axes = chart.add_subplot()
    names = [row.case for row in rows]
    colors = ['tab:blue' if row.ok else 'tab:red' for row in rows]
    axes.barh(names, [row.value for row in rows], color=colors)
    for bound in {row.bound for row in rows if row.bound is not None}:
        axes.axvline(bound, color='black', linestyle='--')
    axes.invert_yaxis()
    axes.set_xlabel(f'{measure} ({rows[0].unit})')
    image = io.BytesIO()
    chart.savefig(image, format='png', dpi=80)
    data = base64.b64encode(image.getvalue()).decode('ascii')
    source = f'data:image/png;base64,{data}'
    return f'<img alt="{html.escape(measure)}" src="{source}">'


def _make_table(rows: Iterable[results.Result]) -> Iterable[str]:
    yield '<table><tr>'
    yield from (f'<th>{name}</th>' for name in COLUMNS)
    yield '</tr>'
    for row in rows:
        yield '<tr>'
        for name in COLUMNS:
            text = html.escape(_format_value(getattr(row, name)))
            yield f'<td>{text}</td>'
        yield '</tr>'
    yield '</table>'


def _make_parts(rows: Iterable[results.Result]) -> Iterable[str]:
    yield '<!DOCTYPE html><html lang="en"><meta charset="utf-8">'
    yield '<title>Measurements</title><h1>Measurements</h1>'
    by_measure = sorted(rows, key=lambda row: (row.measure, row.case))
    groups = itertools.groupby(by_measure, key=lambda row: row.measure)
    for measure, group in groups:
        members = tuple(group)
        yield f'<h2>{html.escape(measure)}</h2>'
        yield _plot(measure, members)
        yield from _make_table(members)
    yield '</html>'


def make_page(rows: Iterable[results.Result]) -> str:
    """Return an HTML page with a table and a plot of each measure."""
    return '\n'.join(_make_parts(rows))
