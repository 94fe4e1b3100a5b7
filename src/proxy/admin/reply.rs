//! Responses of the admin server, and errors of requests that are not calls.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use std::borrow::Cow;

/// Why a request is not a call of the admin server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdminCallError {
    /// The path is unknown.
    #[error("no such call")]
    UnknownPath,
    /// The path does not allow the request's method.
    #[error("not this call's method")]
    MethodNotAllowed {
        /// The value of the `Allow` header.
        allow: &'static str,
    },
}

/// Methods of calls that read.
const READ_METHODS: &str = "GET, HEAD";
/// Method of calls that change something.
const CHANGE_METHODS: &str = "POST";

/// Whether the method belongs to calls that read.
pub(super) fn is_read_method(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}

/// Returns the call if the method is one of `READ_METHODS`.
pub(super) fn require_read_method<Call>(method: &Method, call: Call) -> Result<Call, AdminCallError> {
    match is_read_method(method) {
        true => Ok(call),
        false => Err(AdminCallError::MethodNotAllowed { allow: READ_METHODS }),
    }
}

/// Returns the call if the method is `CHANGE_METHODS`.
pub(super) fn require_post<Call>(method: &Method, call: Call) -> Result<Call, AdminCallError> {
    match *method == Method::POST {
        true => Ok(call),
        false => Err(AdminCallError::MethodNotAllowed { allow: CHANGE_METHODS }),
    }
}

/// Response to a call.
#[derive(Debug)]
pub struct AdminReply {
    /// HTTP status.
    pub status: StatusCode,
    content_type: &'static str,
    body: Cow<'static, str>,
    allow: Option<&'static str>,
}

impl AdminReply {
    /// Creates a plain-text reply; each line of `body` ends with a newline.
    pub fn text(status: StatusCode, body: impl Into<Cow<'static, str>>) -> AdminReply {
        AdminReply { status, content_type: "text/plain", body: body.into(), allow: None }
    }

    /// Creates a reply with a JSON report.
    pub fn json(body: String) -> AdminReply {
        AdminReply {
            status: StatusCode::OK,
            content_type: "application/json",
            body: body.into(),
            allow: None,
        }
    }

    /// Creates the reply to a command that was carried out.
    pub fn done() -> AdminReply {
        AdminReply::text(StatusCode::OK, "done\n")
    }

    /// Creates the reply to a call that the runtime did not answer in time.
    pub(super) fn runtime_timeout() -> AdminReply {
        AdminReply::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n")
    }

    /// The body without its final newline, for logs.
    pub fn body(&self) -> &str {
        self.body.trim_end()
    }

    /// Converts the reply to an HTTP response.
    pub fn into_response(self) -> Response<Full<Bytes>> {
        let body = match self.body {
            Cow::Borrowed(text) => Bytes::from_static(text.as_bytes()),
            Cow::Owned(text) => Bytes::from(text),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        if let Some(allow) = self.allow {
            headers.insert(header::ALLOW, HeaderValue::from_static(allow));
        }
        response
    }
}

impl From<AdminCallError> for AdminReply {
    fn from(error: AdminCallError) -> AdminReply {
        let (status, allow) = match error {
            AdminCallError::UnknownPath => (StatusCode::NOT_FOUND, None),
            AdminCallError::MethodNotAllowed { allow } => (StatusCode::METHOD_NOT_ALLOWED, Some(allow)),
        };
        AdminReply { allow, ..AdminReply::text(status, format!("{error}\n")) }
    }
}
