//! Reads recordings. Errors name the line; a truncated last line can be skipped on request.

use crate::prelude::*;

/// The content of a recording.
#[derive(Clone, Debug)]
pub struct RecordedDay {
    /// The header line.
    pub header: DayHeader,
    /// The runs, in the order of their lines.
    pub runs: Vec<RecordedRun>,
    /// The number of the truncated last line, if one was skipped.
    pub truncated_line: Option<usize>,
}

/// Parses a recording; a truncated last line is an error unless `skip_truncated` is set.
pub fn read_day(text: &str, skip_truncated: bool) -> Result<RecordedDay, String> {
    let is_complete = text.ends_with('\n');
    let lines: Vec<&str> = text.lines().collect();
    let Some(header_line) = lines.first() else { return Err("line 1: the file is empty, not a recording".into()) };
    let header_text = check_line(header_line, 1)?;
    let header_value: serde_json::Value =
        serde_json::from_str(header_text).map_err(|fault| format!("line 1: malformed header: {fault}"))?;
    let format = header_value["format"].as_u64().ok_or("line 1: the header names no format")?;
    if format != FORMAT {
        return Err(format!("line 1: format {format}, this program reads format {FORMAT}"));
    }
    let header: DayHeader =
        serde_json::from_value(header_value).map_err(|fault| format!("line 1: malformed header: {fault}"))?;
    let mut runs = Vec::new();
    for (index, line) in lines.iter().enumerate().skip(1) {
        let number = index + 1;
        let is_last = number == lines.len();
        let read = check_line(line, number).and_then(|text| {
            serde_json::from_str(text).map_err(|fault| format!("line {number}: not a run: {fault}"))
        });
        match read {
            Ok(run) => runs.push(run),
            Err(_) if is_last && !is_complete && skip_truncated => {
                return Ok(RecordedDay { header, runs, truncated_line: Some(number) });
            }
            Err(reason) if is_last && !is_complete => {
                return Err(format!("{reason}; the last line is truncated; use the rest with --use-cut"));
            }
            Err(reason) => return Err(reason),
        }
    }
    Ok(RecordedDay { header, runs, truncated_line: None })
}

/// Checks a line's checksum and returns its JSON.
fn check_line(line: &str, number: usize) -> Result<&str, String> {
    let parts = line.split_once(' ').filter(|(sum, _)| sum.len() == 8);
    let Some((sum_text, text)) = parts else { return Err(format!("line {number}: no checksum")) };
    let sum = u32::from_str_radix(sum_text, 16).map_err(|_| format!("line {number}: no checksum"))?;
    if sum != crc32fast::hash(text.as_bytes()) {
        return Err(format!("line {number}: corrupted, the checksum differs"));
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn recorded(number: u64) -> RecordedRun {
        RecordedRun {
            at: number,
            began: number,
            run: format!("r.{number}"),
            tenant: "t".into(),
            kind: "k".into(),
            model: "m".into(),
            block_hashes: Vec::new(),
            prompt_blocks: 1,
            max_tokens: 1,
            streams: true,
            repeatable: false,
            pick: None,
            outcome: "whole".into(),
            first_ms: Some(1),
            total_ms: 2,
        }
    }

    #[test]
    fn errors_name_the_line() {
        let header = write_line(&DayHeader { format: FORMAT, router: "r".into() });
        let (first, second) = (write_line(&recorded(1)), write_line(&recorded(2)));
        let whole = format!("{header}{first}{second}");
        assert_eq!(read_day(&whole, false).unwrap().runs.len(), 2);
        let corrupted = whole.replace("r.1", "r.9");
        assert_eq!(read_day(&corrupted, true).unwrap_err(), "line 2: corrupted, the checksum differs");
        let truncated = &whole[..whole.len() - 9];
        assert!(read_day(truncated, false).unwrap_err().starts_with("line 3: corrupted"));
        let partial = read_day(truncated, true).unwrap();
        assert_eq!((partial.runs.len(), partial.truncated_line), (1, Some(3)));
        let other_format = write_line(&DayHeader { format: 7, router: "r".into() });
        assert_eq!(read_day(&other_format, true).unwrap_err(), "line 1: format 7, this program reads format 1");
        assert!(read_day("", true).unwrap_err().contains("empty"));
        assert!(read_day("hello\n", true).unwrap_err().contains("no checksum"));
    }

    #[test]
    fn files_are_rotated_and_the_oldest_dropped() {
        let folder = std::env::temp_dir().join(format!("days-{}", std::process::id()));
        let mut writer = DayWriter::create(&folder, "r", 2_000).unwrap();
        for number in 0..200 {
            writer.write(&recorded(number)).unwrap();
        }
        writer.flush().unwrap();
        let mut names: Vec<String> = std::fs::read_dir(&folder)
            .unwrap()
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        names.sort();
        assert_eq!(names.len() as u64, KEPT_FILES);
        let text = std::fs::read_to_string(folder.join(&names[3])).unwrap();
        assert_eq!(read_day(&text, false).unwrap().runs.last().map(|run| run.at), Some(199));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
