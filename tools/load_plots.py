"""Plots of tools/load_report.py as SVG text: stacked bars over time, and dots."""
import collections
import html

COLOURS = ("#5b9bd5", "#f4b183", "#c9a0dc", "#a9d18e", "#c00000", "#7f6000", "#ff7c80",
           "#808080", "#264478", "#43682b")
SERIES_MAX = len(COLOURS)  # further series are summed as "others"
WIDTH, HEIGHT, MARGIN, LEGEND = 900, 300, 60, 380  # pixels; the legend is on the right


def text(x, y, value, anchor="start"):
    return '<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>\n' % (
        x, y, anchor, html.escape(str(value)))


def frame(title, x_label, y_label, x_range, y_max, body, names):
    """Returns a whole SVG document: axes with their ends marked, a legend, and body."""
    bottom, right = MARGIN + HEIGHT, MARGIN + WIDTH
    svg = ('<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" '
           'font-family="sans-serif" font-size="12">\n<rect width="100%%" height="100%%" '
           'fill="white"/>\n' % (right + LEGEND, bottom + MARGIN))
    svg += text(MARGIN, MARGIN / 2, title) + text(MARGIN, MARGIN - 8, y_label)
    svg += body
    svg += '<path d="M%d %dV%dH%d" fill="none" stroke="black"/>\n' % (MARGIN, MARGIN, bottom,
                                                                      right)
    svg += text(MARGIN - 4, MARGIN + 10, "%.4g" % y_max, "end") + text(MARGIN - 4, bottom, 0, "end")
    svg += text(MARGIN, bottom + 16, "%g" % x_range[0]) + text(right, bottom + 16,
                                                               "%g" % x_range[1], "end")
    svg += text(MARGIN + WIDTH / 2, bottom + 34, x_label, "middle")
    for i, name in enumerate(names):
        y = MARGIN + 18 * i
        svg += '<rect x="%d" y="%d" width="10" height="10" fill="%s"/>\n' % (
            right + 14, y, COLOURS[i % len(COLOURS)])
        svg += text(right + 30, y + 10, name)
    return svg + "</svg>\n"


def largest(series):
    """Returns {name: {bin: value}} with the largest series, and the sum of the others."""
    names = sorted(series, key=lambda n: (-sum(series[n].values()), n))
    names = [n for n in names if any(series[n].values())]
    kept = {n: series[n] for n in names[:SERIES_MAX - 1]}
    others = collections.Counter()
    for name in names[SERIES_MAX - 1:]:
        others.update(series[name])
    return {**kept, "others": others} if others else kept


def stacked(title, unit, series, bin_s):
    """Returns a plot of {name: {number of the bin: value}}, stacked."""
    series = largest(series)
    bins = [b for values in series.values() for b in values] or [0]
    first, last, top = min(bins), max(bins) + 1, collections.Counter()
    y_max = max((sum(v.get(b, 0) for v in series.values()) for b in set(bins)), default=0) or 1
    width, body = WIDTH / (last - first), ""
    for i, values in enumerate(series.values()):
        for b, value in sorted(values.items()):
            top[b] += value
            body += '<rect x="%.2f" y="%.2f" width="%.2f" height="%.2f" fill="%s"/>\n' % (
                MARGIN + (b - first) * width, MARGIN + HEIGHT * (1 - top[b] / y_max), width,
                HEIGHT * value / y_max, COLOURS[i])
    return frame(title, "seconds", "%s in %g s" % (unit, bin_s), (first * bin_s, last * bin_s),
                 y_max, body, series)


def dots(title, x_label, y_label, points):
    """Returns a plot of (group, name, x, y), a colour for each group."""
    points = [p for p in points if p[2] == p[2] and p[3] == p[3]]  # without NaN
    groups = sorted({p[0] for p in points})
    x_max = max((p[2] for p in points), default=0) or 1
    y_max = max((p[3] for p in points), default=0) or 1
    body = ""
    for group, name, x, y in points:
        body += '<circle cx="%.1f" cy="%.1f" r="4" fill="%s"><title>%s</title></circle>\n' % (
            MARGIN + WIDTH * x / x_max, MARGIN + HEIGHT * (1 - y / y_max),
            COLOURS[groups.index(group) % len(COLOURS)], html.escape(name))
    return frame(title, x_label, y_label, (0, x_max), y_max, body, groups)
