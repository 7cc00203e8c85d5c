//! Error responses to callers.

use crate::prelude::*;

/// An error response: a rejected or failed request.
#[derive(Clone, Debug)]
pub struct Problem {
    /// Stable, machine-readable error code.
    pub code: &'static str,
    /// Human-readable explanation.
    pub detail: String,
    /// Whether the request may have run: `not-run` or `may-have-run`.
    pub outcome: &'static str,
    /// Delay after which the caller may retry; sent as `Retry-After` in whole seconds.
    pub retry_after: Option<Duration>,
    /// The HTTP status.
    pub status: StatusCode,
}

/// Outcome of a request that certainly did not run.
const NOT_RUN: &str = "not-run";

/// Outcome of a request that may have run.
const MAY_HAVE_RUN: &str = "may-have-run";

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        Self {
            code: error.code(),
            detail: error.to_string(),
            outcome: NOT_RUN,
            retry_after: (error == Error::Stopping).then_some(Duration::from_secs(1)),
            status: error.status(),
        }
    }
}

impl From<NotRun> for Problem {
    fn from(refused: NotRun) -> Self {
        let (code, status) = refusal_code(refused.refusal);
        Self {
            code,
            detail: refused.refusal.to_string(),
            outcome: NOT_RUN,
            retry_after: refused.retry_after,
            status,
        }
    }
}

impl From<MayHaveRun> for Problem {
    fn from(reason: MayHaveRun) -> Self {
        let (code, status) = match reason {
            MayHaveRun::ClaimUnsettled => ("claim_unsettled", StatusCode::GATEWAY_TIMEOUT),
            MayHaveRun::ConnectionLost => ("connection_lost", StatusCode::BAD_GATEWAY),
            MayHaveRun::DeadlinePassed => ("deadline_passed", StatusCode::GATEWAY_TIMEOUT),
            MayHaveRun::EarlierAttempt => ("earlier_attempt", StatusCode::CONFLICT),
            MayHaveRun::Stopped => ("crashes_endpoints", StatusCode::BAD_GATEWAY),
            MayHaveRun::StreamCut(_) => ("stream_cut", StatusCode::BAD_GATEWAY),
        };
        Self {
            code,
            detail: reason.to_string(),
            outcome: MAY_HAVE_RUN,
            retry_after: None,
            status,
        }
    }
}

impl Problem {
    /// Returns the OpenAI error object, for responses of that API and error events in streams.
    #[must_use]
    pub fn openai(&self) -> Value {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({"error": {
          "code": self.code,
          "message": self.detail,
          "outcome": self.outcome,
          "param": null,
          "type": kind,
        }})
    }

    /// Writes the response with an OpenAI error object as its body.
    pub fn write_openai(&self, response: &mut Response) {
        self.write(response, "application/json", &self.openai());
    }

    /// Writes the response with RFC 9457 problem details as its body.
    pub fn write_problem(&self, response: &mut Response) {
        let body = json!({
          "code": self.code,
          "detail": self.detail,
          "outcome": self.outcome,
          "status": self.status.as_u16(),
          "title": self.status.canonical_reason().unwrap_or_default(),
          "type": "about:blank",
        });
        self.write(response, "application/problem+json", &body);
    }

    fn write(&self, response: &mut Response, content_type: &'static str, body: &Value) {
        response.status_code(self.status);
        set_header(response, "content-type", content_type);
        set_header(response, "carawayhead-outcome", self.outcome);
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs().max(1);
            set_header(response, "retry-after", &seconds.to_string());
        }
        response.body(body.to_string());
    }
}

/// Sets a header; a value that is not a valid header value is ignored.
pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

const fn refusal_code(refusal: Refusal) -> (&'static str, StatusCode) {
    match refusal {
        Refusal::AllRefused => ("all_refused", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::CallerGone => ("caller_gone", StatusCode::BAD_REQUEST),
        Refusal::CrashesEndpoints => ("crashes_endpoints", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::DeadlinePassed => ("deadline_passed", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::KeyExpired => ("key_expired", StatusCode::CONFLICT),
        Refusal::KeyFromFuture => ("key_from_future", StatusCode::BAD_REQUEST),
        Refusal::KeyReused => ("key_reused", StatusCode::UNPROCESSABLE_ENTITY),
        Refusal::LogUnavailable => ("log_unavailable", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NoConfig => ("no_config", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NoEndpoint => ("no_endpoint", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NotResumable => ("not_resumable", StatusCode::GONE),
        Refusal::QueueFull => ("queue_full", StatusCode::TOO_MANY_REQUESTS),
        Refusal::UnknownCustomer => ("unknown_customer", StatusCode::UNAUTHORIZED),
        Refusal::UnknownRoute => ("unknown_route", StatusCode::NOT_FOUND),
    }
}
