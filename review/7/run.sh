#!/bin/sh
exec sh "$(dirname "$0")/../common-2/run-case.sh" 7
