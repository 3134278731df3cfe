"""The page of graphs, one static file."""

import pkgutil

from apricotseam.web import Response

HTML_TYPE = "text/html; charset=utf-8"
# The page holds its own script and style and talks to its own host only.
POLICY = (
    "default-src 'none'; script-src 'unsafe-inline';"
    " style-src 'unsafe-inline'; connect-src 'self'"
)


def dashboard(request):
    """Answer ``GET /`` with the page of graphs."""
    page = pkgutil.get_data("apricotseam.operators", "dashboard.html")
    headers = [
        ("Content-Security-Policy", POLICY),
        ("X-Content-Type-Options", "nosniff"),
        ("Cache-Control", "no-store"),
    ]
    return Response(body=page, content_type=HTML_TYPE, headers=headers)
