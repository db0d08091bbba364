//! Reading, with every fault named by its place. A cut last line can be passed over if that is asked.

use crate::prelude::*;

#[derive(Clone, Debug)]
pub struct RecordedDay {
    pub header: DayHeader,
    pub runs: Vec<RecordedRun>,
    /// The number of a cut last line that was passed over.
    pub truncated_line: Option<usize>,
}

pub fn read_day(text: &str, passes_cut: bool) -> Result<RecordedDay, String> {
    let ends_whole = text.ends_with('\n');
    let lines: Vec<&str> = text.lines().collect();
    let Some(head_line) = lines.first() else { return Err("line 1: empty, no recording".into()) };
    let head_text = check_line(head_line, 1)?;
    let head_value: serde_json::Value =
        serde_json::from_str(head_text).map_err(|fault| format!("line 1: no header: {fault}"))?;
    let format = head_value["format"].as_u64().ok_or("line 1: the header names no format")?;
    if format != FORMAT {
        return Err(format!("line 1: format {format}, this program reads format {FORMAT}"));
    }
    let header: DayHeader =
        serde_json::from_value(head_value).map_err(|fault| format!("line 1: no header: {fault}"))?;
    let mut runs = Vec::new();
    for (place, line) in lines.iter().enumerate().skip(1) {
        let number = place + 1;
        let is_last = number == lines.len();
        let read = check_line(line, number).and_then(|text| {
            serde_json::from_str(text).map_err(|fault| format!("line {number}: not a run: {fault}"))
        });
        match read {
            Ok(run) => runs.push(run),
            Err(_) if is_last && !ends_whole && passes_cut => {
                return Ok(RecordedDay { header, runs, truncated_line: Some(number) });
            }
            Err(reason) if is_last && !ends_whole => {
                return Err(format!("{reason}; the last line is cut, the rest can be used with --use-cut"));
            }
            Err(reason) => return Err(reason),
        }
    }
    Ok(RecordedDay { header, runs, truncated_line: None })
}

fn check_line(line: &str, number: usize) -> Result<&str, String> {
    let parts = line.split_once(' ').filter(|(sum, _)| sum.len() == 8);
    let Some((sum_text, text)) = parts else { return Err(format!("line {number}: no checksum")) };
    let sum = u32::from_str_radix(sum_text, 16).map_err(|_| format!("line {number}: no checksum"))?;
    if sum != crc32fast::hash(text.as_bytes()) {
        return Err(format!("line {number}: damaged, its checksum differs"));
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
    fn damage_is_named_by_its_place() {
        let header = write_line(&DayHeader { format: FORMAT, router: "r".into() });
        let (first, second) = (write_line(&recorded(1)), write_line(&recorded(2)));
        let whole = format!("{header}{first}{second}");
        assert_eq!(read_day(&whole, false).unwrap().runs.len(), 2);
        let damaged = whole.replace("r.1", "r.9");
        assert_eq!(read_day(&damaged, true).unwrap_err(), "line 2: damaged, its checksum differs");
        let cut = &whole[..whole.len() - 9];
        assert!(read_day(cut, false).unwrap_err().starts_with("line 3: damaged"));
        let used = read_day(cut, true).unwrap();
        assert_eq!((used.runs.len(), used.truncated_line), (1, Some(3)));
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
