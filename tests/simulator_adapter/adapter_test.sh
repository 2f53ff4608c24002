#!/bin/sh
# Tests the adapter as a process: it exits with 0 at the end of input; for malformed input it prints one line on standard error
# and exits with an error.
adapter=$1
failed=0
spawn='SPAWN RngSeed=1 RequestClasses.count=1 RequestClasses.0.Name=view RequestClasses.0.TargetMs=100 RequestClasses.0.DeadlineMs=400 RequestClasses.0.Effect=pure Limits.MaxAttempts=2'
good() { # name, input, expected text in the reply
  reply=$(printf "$2" | "$adapter") || { echo "FAILED $1: exit code"; failed=1; }
  case "$reply" in *"$3"*) ;; *) echo "FAILED $1: $reply"; failed=1 ;; esac
}
bad() { # name, input, expected text on standard error
  if message=$(printf "$2" | timeout 10 "$adapter" 2>&1 >/dev/null); then echo "FAILED $1: exit code 0"; failed=1; fi
  case "$message" in *"$3"*) ;; *) echo "FAILED $1: $message"; failed=1 ;; esac
  [ "$(printf '%s\n' "$message" | wc -l)" -eq 1 ] || { echo "FAILED $1: more than one line"; failed=1; }
}
good 'no input' '' ''
good 'an empty batch' 'SYNC TMs=1.5\nOVER_TO_YOU\n' DONE
good 'a request' "SYNC TMs=1\nABOUT I=3\n$spawn\nSNAPSHOT_ROWS Ref=0 Members=1\nROW Host=h Cell=1 Condition=1\nROSTER_CHANGE Form=2 Generation=1 Ref=0\nORDER Ticket=t ExpiresMs=300 DbNo=1 Kind=view\nOVER_TO_YOU\n" 'DELIVER Ticket=t Host=h'
bad 'an unknown message' 'SYNC TMs=1\nHELLO\nOVER_TO_YOU\n' 'unknown message'
bad 'a missing clock' 'SYNC\nOVER_TO_YOU\n' 'missing field TMs'
bad 'a clock that goes back' 'SYNC TMs=2\nOVER_TO_YOU\nSYNC TMs=1\nOVER_TO_YOU\n' 'went back'
bad 'an instance never started' 'SYNC TMs=1\nABOUT I=3\nELAPSED KeyBack=1\nOVER_TO_YOU\n' 'never started'
bad 'a short list' 'SYNC TMs=1\nSNAPSHOT_ROWS Ref=0 Members=2\nROW Host=h Cell=1 Condition=1\nOVER_TO_YOU\n' 'fewer rows'
bad 'a long list' 'SYNC TMs=1\nSNAPSHOT_ROWS Ref=0 Members=0\nROW Host=h Cell=1 Condition=1\nOVER_TO_YOU\n' 'unknown message'
bad 'truncated input' 'SYNC TMs=1\nABOUT I=3\n' 'ended inside a batch'
bad 'a number out of range' 'SYNC TMs=1\nSNAPSHOT_ROWS Ref=99 Members=0\nOVER_TO_YOU\n' 'out of range'
bad 'impossible settings' 'SYNC TMs=1\nABOUT I=1\nSPAWN RngSeed=1\nOVER_TO_YOU\n' 'invalid setting'
[ $failed -eq 0 ] && echo "adapter: all cases as expected"
exit $failed
