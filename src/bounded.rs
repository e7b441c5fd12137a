//! Reads answers of other servers up to a limit.

use reqwest::Response;
use thiserror::Error;

/// Why an answer was not read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The answer has more bytes than allowed.
    #[error("the answer has more than {0} bytes")]
    TooLarge(u64),
    /// The connection failed before the end of the answer.
    #[error(transparent)]
    Failed(#[from] reqwest::Error),
}

/// Reads the body of an answer, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the answer is larger, or its end does not arrive.
///
/// ```
/// use lycheelock::bounded::read_bounded;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let answer = |body: &'static str| reqwest::Response::from(http_response(body));
/// assert_eq!(read_bounded(answer("abc"), 3).await.unwrap(), b"abc");
/// assert!(read_bounded(answer("abcd"), 3).await.is_err());
/// # });
/// # fn http_response(body: &'static str) -> hyper::Response<&'static str> {
/// #     hyper::Response::new(body)
/// # }
/// ```
pub async fn read_bounded(mut response: Response, limit: u64) -> Result<Vec<u8>, ReadError> {
    let length = response.content_length().unwrap_or_default();
    if length > limit {
        return Err(ReadError::TooLarge(limit));
    }
    let mut body = Vec::with_capacity(length as usize);
    while let Some(chunk) = response.chunk().await? {
        if (body.len() + chunk.len()) as u64 > limit {
            return Err(ReadError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
