//! What an operators' call is answered, and why a request may be no call.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use std::borrow::Cow;

/// Why a request is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdminCallError {
    /// There is no such path.
    #[error("no such call")]
    UnknownPath,
    /// The path takes only these methods.
    #[error("not this call's method")]
    MethodNotAllowed {
        /// The value of the `Allow` header.
        allow: &'static str,
    },
}

/// The methods of calls that read.
const READ_METHODS: &str = "GET, HEAD";
/// The method of calls that change something.
const CHANGE_METHODS: &str = "POST";

/// Whether a method only reads.
pub(super) fn is_reading(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}

/// The call, if the method only reads.
pub(super) fn reading<Call>(method: &Method, call: Call) -> Result<Call, AdminCallError> {
    match is_reading(method) {
        true => Ok(call),
        false => Err(AdminCallError::MethodNotAllowed { allow: READ_METHODS }),
    }
}

/// The call, if the method is that of a change.
pub(super) fn changing<Call>(method: &Method, call: Call) -> Result<Call, AdminCallError> {
    match *method == Method::POST {
        true => Ok(call),
        false => Err(AdminCallError::MethodNotAllowed { allow: CHANGE_METHODS }),
    }
}

/// The response to a call.
#[derive(Debug)]
pub struct AdminReply {
    /// Its status.
    pub status: StatusCode,
    content_type: &'static str,
    body: Cow<'static, str>,
    allow: Option<&'static str>,
}

impl AdminReply {
    /// Plain text; each line ends with a newline.
    pub fn text(status: StatusCode, body: impl Into<Cow<'static, str>>) -> AdminReply {
        AdminReply { status, content_type: "text/plain", body: body.into(), allow: None }
    }

    /// A report.
    pub fn json(body: String) -> AdminReply {
        AdminReply {
            status: StatusCode::OK,
            content_type: "application/json",
            body: body.into(),
            allow: None,
        }
    }

    /// What a call is answered that has done what it says.
    pub fn done() -> AdminReply {
        AdminReply::text(StatusCode::OK, "done\n")
    }

    /// The runtime did not answer in time.
    pub(super) fn runtime_timeout() -> AdminReply {
        AdminReply::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n")
    }

    /// The body, for logs.
    pub fn body(&self) -> &str {
        self.body.trim_end()
    }

    /// The reply as HTTP.
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
