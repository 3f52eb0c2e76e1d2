package entity

import "strconv"

// Decimal formats a number for a log field.
func Decimal(n int64) string { return strconv.FormatInt(n, 10) }
