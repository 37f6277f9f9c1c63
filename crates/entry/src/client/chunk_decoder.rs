use super::ExchangeError;
use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk size line and longest trailer section, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Decodes a body in the chunked transfer coding. Trailers are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkDecoder {
    /// Before a chunk size line.
    Size,
    /// Inside a chunk with this many bytes left.
    Data(u64),
    /// Before the line end that follows a chunk.
    DataEnd,
    /// In the trailers, with this many bytes of them read.
    Trailers(usize),
    /// After the last byte.
    End,
}

impl ChunkDecoder {
    /// Takes the next piece of the body from `buf`; `None` if more bytes are needed or the body has
    /// ended.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match *self {
                ChunkDecoder::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((line, 0))) => {
                        buf.advance(line);
                        *self = ChunkDecoder::Trailers(0);
                    }
                    Ok(httparse::Status::Complete((line, size))) => {
                        buf.advance(line);
                        *self = ChunkDecoder::Data(size);
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_LINE_BYTES => {
                        return Ok(None);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => return Err(ExchangeError::Malformed),
                },
                ChunkDecoder::Data(_) if buf.is_empty() => return Ok(None),
                ChunkDecoder::Data(left) => {
                    let n = left.min(buf.len() as u64);
                    *self = match left - n {
                        0 => ChunkDecoder::DataEnd,
                        left => ChunkDecoder::Data(left),
                    };
                    return Ok(Some(buf.split_to(n as usize).freeze()));
                }
                ChunkDecoder::DataEnd if buf.len() < 2 => return Ok(None),
                ChunkDecoder::DataEnd if buf.starts_with(b"\r\n") => {
                    buf.advance(2);
                    *self = ChunkDecoder::Size;
                }
                ChunkDecoder::DataEnd => return Err(ExchangeError::Malformed),
                ChunkDecoder::Trailers(read) => {
                    let Some(end) = buf.windows(2).position(|w| w == b"\r\n") else {
                        return match buf.len() + read > MAX_LINE_BYTES {
                            true => Err(ExchangeError::Malformed),
                            false => Ok(None),
                        };
                    };
                    buf.advance(end + 2);
                    *self = match end {
                        0 => ChunkDecoder::End,
                        _ if read + end > MAX_LINE_BYTES => return Err(ExchangeError::Malformed),
                        _ => ChunkDecoder::Trailers(read + end),
                    };
                }
                ChunkDecoder::End => return Ok(None),
            }
        }
    }
}
