"""The dashboard, one static HTML file."""

import pkgutil

from apricotseam.web import Response

HTML_TYPE = "text/html; charset=utf-8"
# Script and style are inline; the page connects to its own host only.
CONTENT_SECURITY_POLICY = (
    "default-src 'none'; script-src 'unsafe-inline';"
    " style-src 'unsafe-inline'; connect-src 'self'"
)


def dashboard(request):
    """Answer ``GET /`` with the page of graphs."""
    page = pkgutil.get_data("apricotseam.operators", "dashboard.html")
    headers = [
        ("Content-Security-Policy", CONTENT_SECURITY_POLICY),
        ("X-Content-Type-Options", "nosniff"),
        ("Cache-Control", "no-store"),
    ]
    return Response(body=page, content_type=HTML_TYPE, headers=headers)
