package entity

import "strconv"

// Decimal returns n in decimal notation, for instance for a log field.
func Decimal(n int64) string { return strconv.FormatInt(n, 10) }
